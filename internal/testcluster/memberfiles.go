package testcluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"hazelwing/internal/emulator"
)

// writeMemberFiles creates a member's directory, chooses its addresses, links it to discovery and writes its
// configuration files.
func (c *Cluster) writeMemberFiles(p *process, traffic *emulator.Traffic) error {
	if err := p.openLog(); err != nil {
		return err
	}
	if err := c.chooseAddresses(p); err != nil {
		return err
	}
	discovery, err := c.linkToDiscovery(p)
	if err != nil {
		return err
	}
	text, err := c.platformConfig(p, traffic, discovery)
	if err != nil {
		return err
	}
	path, err := p.writeFile("platform.json", string(text))
	if err != nil {
		return err
	}
	p.env = append(os.Environ(), c.config.Env...)
	p.env = append(p.env,
		"RELAY_CONFIG="+path,
		"HAZELWING_OPERATOR="+filepath.Join(p.dir, operatorFileName),
		"GOMAXPROCS=1")
	return c.writeOperatorFile(p)
}

// chooseAddresses sets the member's address for requests and the address of its admin endpoint. The member listens on
// them when it starts.
func (c *Cluster) chooseAddresses(p *process) error {
	for i, address := range []*string{&p.listen, &p.admin} {
		port, err := c.ports.Reserve()
		if err != nil {
			return err
		}
		host := netip.AddrFrom4([4]byte{loopbackOctet, byte(requestOctet + i), 0, byte(p.number)})
		*address = netip.AddrPortFrom(host, port).String()
	}
	return nil
}

// errNoSettings means that the platform configuration made by the emulator has no object "settings".
var errNoSettings = errors.New("test cluster: platform configuration has no object \"settings\"")

// platformConfig returns the platform configuration of a member, as JSON.
func (c *Cluster) platformConfig(p *process, traffic *emulator.Traffic, discovery string) ([]byte, error) {
	seed := fmt.Sprintf("%016x", c.config.Seed*1000+uint64(p.number))
	text, err := emulator.PlatformConfig(traffic, p.listen, discovery, seed)
	if err != nil {
		return nil, err
	}
	var platform map[string]any
	if err := json.Unmarshal(text, &platform); err != nil {
		return nil, err
	}
	settings, ok := platform["settings"].(map[string]any)
	if !ok {
		return nil, errNoSettings
	}
	platform["name"] = p.name
	settings["Balancers"] = c.config.PlatformMembers
	return json.Marshal(platform)
}

// linkToDiscovery creates the link from a member to discovery, and returns the address of the link.
func (c *Cluster) linkToDiscovery(p *process) (string, error) {
	target, err := netip.ParseAddrPort(c.Servers.Discovery.Addr())
	if err != nil {
		return "", err
	}
	host := linkAddr(p.number, discoveryNumber)
	port, err := c.ports.Reserve()
	if err != nil {
		return "", err
	}
	key := linkKey{p.number, discoveryNumber}
	l, err := newLink(key, port, target, c.config.Seed)
	if err != nil {
		return "", err
	}
	c.links[key] = l
	return netip.AddrPortFrom(host, port).String(), nil
}

// operatorFileName is the name of the operator file in a member's directory.
const operatorFileName = "operator.toml"

// writeOperatorFile writes a member's operator file with the current seeds. For an origin, which has no such file, it
// does nothing.
func (c *Cluster) writeOperatorFile(p *process) error {
	if p.number > originBase {
		return nil
	}
	seeds, err := json.Marshal(c.seeds)
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[admin]\nlisten = %q\n", p.admin)
	fmt.Fprintf(&text, "[fleet]\nname = %q\nlisten = %q\nseeds = %s\n", clusterName, c.GossipAddr(p.number), seeds)
	fmt.Fprintf(&text, "networks = [\"127.0.0.0/8\"]\ntranslate = [{from = %q, to = %q}]\n",
		memberPrefix(), linkPrefix(p.number))
	options := strings.ReplaceAll(c.config.OperatorOptions, "DIR", p.dir)
	fmt.Fprintf(&text, "%s\n%s\n%s", c.config.ClusterOptions, options, c.configSection(p))
	_, err = p.writeFile(operatorFileName, text.String())
	return err
}
