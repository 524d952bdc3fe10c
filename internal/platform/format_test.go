package platform

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// Each key of the platform's configuration is read under its name, as the platform writes it; and the type's own names stay.
func TestPlatformConfigurationFormatIsStable(t *testing.T) {
	text, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	var config Config
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(&config); err != nil {
		t.Fatal(err)
	}
	testutil.Filled(t, config)
	testutil.ExplicitNames(t, "json", config)
	decoded, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "configuration-decoded.json", append(decoded, '\n'))
}

// An error of the configuration names the field as it did.
func TestPlatformConfigurationErrorNamesTheField(t *testing.T) {
	for text, want := range map[string]string{
		`{"listen":1}`:                     ".Listen of type string",
		`{"limits":{"cores":"x"}}`:         "Limits.Cores of type float64",
		`{"settings":{"TickMs":"x"}}`:      "Settings.TickMs of type float64",
		`{"known":{"hosts":[{"host":1}]}}`: "Known.hosts.host of type string",
	} {
		if _, err := loadWith(t, text, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// The variables that the platform sets.
func TestPlatformVariableNamesAreStable(t *testing.T) {
	var asked []string
	Load(func(name string) string {
		asked = append(asked, name)
		return map[string]string{"RELAY_CONFIG": "testdata/configuration.json"}[name]
	})
	if got, want := strings.Join(asked, " "), "RELAY_CONFIG RELAY_NAME RELAY_LISTEN RELAY_DISCOVERY"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
