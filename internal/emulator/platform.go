package emulator

import "encoding/json"

// semanticsByEffect maps the effects in traffic files to the values of Semantics in the platform's settings.
var semanticsByEffect = map[string]string{
	"safe":   "retryable",
	"keyed":  "dedup",
	"unsafe": "fragile",
}

// PlatformConfig returns the configuration that the platform would give to a daemon that serves clients of recorded
// traffic. The daemon has one balancer and listens on the address listen. Its endpoint list is empty at first; it gets
// the list from the service at the address discovery.
func PlatformConfig(traffic *Traffic, listen, discovery, seed string) ([]byte, error) {
	type object = map[string]any
	var classes []object
	for _, class := range traffic.Classes {
		classes = append(classes, object{
			"Name":          class.Name,
			"AimMs":         class.ObjectiveMS,
			"DeadlineMs":    class.DeadlineMS,
			"Importance":    class.Weight,
			"LateShare":     class.LateWeight,
			"Semantics":     semanticsByEffect[class.Effect],
			"KeyScope":      "zone",
			"DedupWindowMs": 6000,
		})
	}
	return json.Marshal(object{
		"name":      "standin",
		"listen":    listen,
		"discovery": discovery,
		"seed":      seed,
		"limits":    object{"cores": 0, "memory_mb": 512, "sockets": 4096},
		"known":     object{"seq": 0, "whole": true, "hosts": []Endpoint{}},
		"settings": object{
			"Balancers": 1,
			"Zone":      "a",
			"Discovery": "ask",
			"TickMs":    1,
			"WorthBy":   "work",
			"Classes":   classes,
			"Limits": object{
				"Cancelling":       true,
				"SecondCopies":     true,
				"ConnIdleMs":       15000,
				"ConnectTimeoutMs": 250,
				"SendCap":          5,
				"RetryAfter":       true,
				"MaxRetryAfterMs":  200,
			},
			"Rules": object{
				"ColdFrom":     0.3,
				"WarmUpMs":     4000,
				"FallMultiple": 3,
				"FallMs":       2000,
				"DrainGraceMs": 250,
			},
		},
	})
}
