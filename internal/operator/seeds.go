package operator

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

const (
	// maxSeeds limits the number of seeds, the members through which a process joins the cluster. One running seed is
	// enough to join.
	maxSeeds = 64
	// maxSeedsFileBytes limits the size of the file that lists seeds. A larger file is probably a wrong path.
	maxSeedsFileBytes = 64 << 10
)

// loadSeeds parses the seeds in Seeds and in the file SeedsFile, and checks them.
func (c *Cluster) loadSeeds(v validator) {
	for _, text := range c.Seeds {
		c.SeedAddrs = append(c.SeedAddrs, v.peerAddress("fleet.seeds", text, clusterExample))
	}
	if c.SeedsFile != "" {
		text, ok := c.readSeedsFile(v)
		if !ok {
			return // the number of seeds is not known
		}
		c.parseSeedsFile(v, text)
	}
	if len(c.SeedAddrs) == 0 || len(c.SeedAddrs) > maxSeeds {
		v.errorf("fleet.seeds", "there must be 1 to %d seeds, got %d", maxSeeds, len(c.SeedAddrs))
	}
	for _, addr := range c.SeedAddrs {
		if c.isOutsideNetworks(addr) {
			v.errorf("fleet.seeds", "%s is in none of fleet.networks", addr)
		}
	}
}

// readSeedsFile returns the text of the seeds file. It reports an error and returns false if it cannot read the file.
func (c *Cluster) readSeedsFile(v validator) (text string, ok bool) {
	if !filepath.IsAbs(c.SeedsFile) {
		v.errorf("fleet.seeds_file", "must be an absolute path, got %q", c.SeedsFile)
		return "", false
	}
	content, err := os.ReadFile(c.SeedsFile)
	if err != nil {
		v.errorf("fleet.seeds_file", "%v", err)
		return "", false
	}
	if len(content) > maxSeedsFileBytes {
		v.errorf("fleet.seeds_file", "the file must have at most %d bytes, got %d", maxSeedsFileBytes, len(content))
		return "", false
	}
	return string(content), true
}

// parseSeedsFile parses the text of the seeds file, which has one address per line. A # begins a comment that extends
// to the end of the line.
func (c *Cluster) parseSeedsFile(v validator, text string) {
	number := 0
	for line := range strings.Lines(text) {
		number++
		line, _, _ = strings.Cut(line, "#")
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(line); err != nil {
			v.errorf("fleet.seeds_file", "%s:%d: must be an IP address and a port such as %q, got %q",
				c.SeedsFile, number, clusterExample, line)
			continue
		}
		c.SeedAddrs = append(c.SeedAddrs, v.peerAddress("fleet.seeds_file", line, clusterExample))
	}
}
