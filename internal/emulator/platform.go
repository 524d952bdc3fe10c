package emulator

import "encoding/json"

// PlatformConfig is the configuration that the platform would give a daemon that serves clients of recorded traffic: one core,
// listening on loopback. The list is empty at first: discovery brings it.
func PlatformConfig(t *Traffic, listen, discovery string, seed string) ([]byte, error) {
	type object = map[string]any
	var classes []object
	for _, c := range t.Classes {
		classes = append(classes, object{"Name": c.Name, "AimMs": c.ObjectiveMS, "DeadlineMs": c.DeadlineMS, "Importance": c.Weight,
			"LateShare": c.LateWeight, "Semantics": map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}[c.Effect],
			"KeyScope": "zone", "DedupWindowMs": 6000})
	}
	return json.Marshal(object{"name": "standin", "listen": listen, "discovery": discovery, "seed": seed,
		"limits": object{"cores": 0, "memory_mb": 512, "sockets": 4096},
		"known":  object{"seq": 0, "whole": true, "hosts": []Endpoint{}},
		"settings": object{"Balancers": 1, "Zone": "a", "Discovery": "ask", "TickMs": 1, "WorthBy": "work", "Classes": classes,
			"Limits": object{"Cancelling": true, "SecondCopies": true, "ConnIdleMs": 15000, "ConnectTimeoutMs": 250, "SendCap": 5,
				"RetryAfter": true, "MaxRetryAfterMs": 200},
			"Rules": object{"ColdFrom": 0.3, "WarmUpMs": 4000, "FallMultiple": 3, "FallMs": 2000, "DrainGraceMs": 250}}})
}
