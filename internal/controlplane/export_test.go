package controlplane

import "slices"

// SettingRules returns the rules of all keys, including keys that a snapshot cannot contain, for the test of the design
// page.
func SettingRules() []SettingRule { return slices.Clone(settingRules) }
