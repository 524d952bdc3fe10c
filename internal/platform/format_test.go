package platform

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// Each key of the platform's configuration file is decoded. The field names in the encoded form of Config must not
// change.
func TestPlatformConfigurationFormatIsStable(t *testing.T) {
	text, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	var config Config
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		t.Fatal(err)
	}
	testutil.CheckFieldsSet(t, config)
	testutil.CheckExplicitNames(t, "json", config)
	decoded := testutil.IndentedJSON(t, config)
	testutil.Golden(t, "configuration-decoded.json", decoded)
}

// The error for a value of the wrong type must keep its form, which contains the field's name.
func TestPlatformConfigurationErrorNamesTheField(t *testing.T) {
	for text, want := range map[string]string{
		`{"listen":1}`:                     ".Listen of type string",
		`{"limits":{"cores":"x"}}`:         "Limits.Cores of type float64",
		`{"settings":{"TickMs":"x"}}`:      "Settings.TickMs of type float64",
		`{"known":{"hosts":[{"host":1}]}}`: "Known.hosts.host of type string",
	} {
		if _, err := load(t, text, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %q", text, err, want)
		}
	}
}

// The names of the environment variables that the platform sets must not change.
func TestPlatformVariableNamesAreStable(t *testing.T) {
	var names []string
	_, err := Load(func(name string) string {
		names = append(names, name)
		return map[string]string{"RELAY_CONFIG": "testdata/configuration.json"}[name]
	})
	if err != nil {
		t.Error(err)
	}
	if got, want := strings.Join(names, " "), "RELAY_CONFIG RELAY_NAME RELAY_LISTEN RELAY_DISCOVERY"; got != want {
		t.Errorf("Load reads the environment variables %s, want %s", got, want)
	}
}
