package controlplane

import "slices"

// SettingRules returns the rules of all keys that a snapshot can have and of those that it cannot, for the test of the
// design page.
func SettingRules() []SettingRule { return slices.Clone(settingRules) }
