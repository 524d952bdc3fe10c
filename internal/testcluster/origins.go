package testcluster

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// Origins are processes like the members. Each origin has an address and links, so the script steps that cut, kill and
// freeze members apply to origins too.
const (
	originBase = 100 // added to an origin's index to get its number: origin 1 has the number 101
	maxOrigins = 7
)

// clusterName is the name of the cluster in all configuration files.
const clusterName = "rig"

// originFileName is the name of the configuration file in an origin's directory.
const originFileName = "origin.toml"

// createOrigins creates the origins and the links to them, and bootstraps them.
func (c *Cluster) createOrigins() error {
	if c.config.Origins == 0 {
		return nil
	}
	if c.config.Origins > maxOrigins {
		return fmt.Errorf("test cluster: Origins is %d, want at most %d", c.config.Origins, maxOrigins)
	}
	c.origins = []*process{nil}
	for k := 1; k <= c.config.Origins; k++ {
		p, err := c.newOrigin(k)
		if err != nil {
			return err
		}
		c.origins = append(c.origins, p)
	}
	if err := c.linkOrigins(); err != nil {
		return err
	}
	return c.BootstrapOrigins(1, "origins")
}

func (c *Cluster) newOrigin(k int) (p *process, err error) {
	name := fmt.Sprint("o", k)
	dir := filepath.Join(c.config.Dir, name)
	p = &process{
		number:    originBase + k,
		name:      name,
		dir:       dir,
		env:       append(append(os.Environ(), c.config.Env...), "GOMAXPROCS=1"),
		program:   c.config.Program,
		arguments: []string{"origin", "run", "--file", filepath.Join(dir, originFileName)},
	}
	if p.port, err = c.ports.Reserve(); err != nil {
		return nil, err
	}
	if err := p.openLog(); err != nil {
		return nil, err
	}
	p.listen = netip.AddrPortFrom(memberAddr(p.number), p.port).String()
	return p, nil
}

// linkOrigins creates the links from all processes to all origins.
func (c *Cluster) linkOrigins() error {
	for _, from := range c.processes() {
		for _, to := range c.origins[1:] {
			if from == to {
				continue
			}
			key := linkKey{from.number, to.number}
			target := netip.AddrPortFrom(memberAddr(to.number), to.port)
			l, err := newLink(key, to.port, target, c.config.Seed)
			if err != nil {
				return err
			}
			c.links[key] = l
		}
	}
	return nil
}

// BootstrapOrigins writes the configuration files of the origins of a group and bootstraps their stores for an epoch.
func (c *Cluster) BootstrapOrigins(epoch int, group string) error {
	numbers, err := c.group(group)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		p := c.process(n)
		path, err := p.writeFile(originFileName, c.originFile(p, epoch))
		if err != nil {
			return err
		}
		if output, err := p.newCommand("origin", "found", "--file", path).CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %s", p.name, err, output)
		}
	}
	return nil
}

// originFile returns the text of an origin's configuration file.
func (c *Cluster) originFile(p *process, epoch int) string {
	var peers []string
	for _, to := range c.origins[1:] {
		addr := to.listen
		if to != p {
			addr = originLinkAddr(p, to)
		}
		peers = append(peers, fmt.Sprintf("{name = %q, addr = %q}", to.name, addr))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nlisten = %q\ndir = %q\n", p.name, p.listen, filepath.Join(p.dir, "store"))
	fmt.Fprintf(&text, "fleet = %q\nepoch = %d\npeers = [%s]\n", clusterName, epoch, strings.Join(peers, ", "))
	text.WriteString("networks = [\"127.0.0.0/8\"]\n")
	return text.String()
}

// originLinkAddr returns the address at which a process reaches an origin, which is the address of the link between
// them.
func originLinkAddr(from, to *process) string {
	return netip.AddrPortFrom(linkAddr(from.number, to.number), to.port).String()
}

// OriginAddr returns the address at which an origin listens, which bypasses the links.
func (c *Cluster) OriginAddr(k int) string { return c.origins[k].listen }

// OriginDir returns the directory of an origin's store.
func (c *Cluster) OriginDir(k int) string { return filepath.Join(c.origins[k].dir, "store") }

// ConfigDir returns the directory in which a member stores its last known configuration.
func (c *Cluster) ConfigDir(n int) string { return filepath.Join(c.members[n].dir, "config") }

// configSection returns the table [config] of a member's operator file, or "" if the cluster has no origins.
func (c *Cluster) configSection(p *process) string {
	if c.config.Origins == 0 {
		return ""
	}
	var addrs []string
	for _, to := range c.origins[1:] {
		addrs = append(addrs, originLinkAddr(p, to))
	}
	list, _ := json.Marshal(addrs) // encoding strings does not fail
	return fmt.Sprintf("[config]\norigins = %s\ndir = %q\n%s\n", list, c.ConfigDir(p.number), c.config.ConfigOptions)
}
