package sidecar

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func loadWith(t *testing.T, text string, more map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return path
		}
		return more[name]
	})
}

func loadText(t *testing.T, text string) *Config {
	t.Helper()
	cfg, err := loadWith(t, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestLoad(t *testing.T) {
	cfg, err := loadWith(t, fmt.Sprintf(testConfig, "127.0.0.1:2", "127.0.0.1:3"), map[string]string{"RELAY_LISTEN": "127.0.0.1:4"})
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 255 || cfg.Listen != "127.0.0.1:4" || cfg.Discovery != "127.0.0.1:2" || len(cfg.Known.Hosts) != 1 ||
		cfg.Known.Hosts[0].Dial != "127.0.0.1:3" || cfg.Limits.Sockets != 1024 || len(cfg.Settings.Classes) != 3 {
		t.Errorf("%+v", cfg)
	}
	if l := cfg.Limits; l.clientConns()+l.upstreamConns() >= l.Sockets {
		t.Error("the shares leave no descriptor over")
	}
}

// A bad configuration has to name what is wrong, in one line.
func TestBadConfig(t *testing.T) {
	good := fmt.Sprintf(testConfig, "127.0.0.1:2", "127.0.0.1:3")
	for name, c := range map[string]struct{ old, new, want string }{
		"not JSON":    {"{", "<", "invalid"},
		"seed":        {"00000000000000ff", "nonsense", "seed"},
		"no settings": {`"settings"`, `"setting"`, "settings"},
		"listen":      {"127.0.0.1:0", "here", "listen"},
		"discovery":   {"127.0.0.1:2", "there", "discovery"},
		"semantics":   {`"fragile"`, `"odd"`, "Effect"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, err := loadWith(t, strings.Replace(good, c.old, c.new, 1), nil)
			if err == nil {
				_, err = newLoop(cfg, quietLog)
			}
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line with %q", err, c.want)
			}
		})
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no variable: %v", err)
	}
}

// An upstream that came up shortly before the sidecar is cold all the same: its time must not be taken for long ago.
func TestClock(t *testing.T) {
	c := newClock()
	up := float64(time.Now().Add(-3 * time.Second).UnixMilli())
	if age := c.now() - c.wall(up); age < 2*time.Second || age > time.Minute {
		t.Errorf("an upstream 3 s old is %v old", age)
	}
	if c.wall(up) != c.wall(up) || c.wall(0) != 0 || c.wall(float64(c.base.UnixMilli()-1)) != 0 {
		t.Error("long ago is not 0")
	}
	if at := c.now(); c.at(c.time(at)) != at {
		t.Error("the clock does not map back")
	}
}
