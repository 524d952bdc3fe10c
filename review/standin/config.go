//go:build review

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
)

type object = map[string]any

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// parseHosts reads "NAME=ADDRESS=ZONE" for each host, separated by commas.
func parseHosts(text string) []host {
	hosts := []host{}
	for field := range strings.SplitSeq(text, ",") {
		parts := strings.Split(field, "=")
		if len(parts) != 3 {
			continue
		}
		hosts = append(hosts, host{
			Host: parts[0], Dial: parts[1], Site: parts[2], Class: "new-fast", Health: "SERVING", Share: 1,
		})
	}
	return hosts
}

// writeConfig prints the configuration that the platform gives to a sidecar of a small deployment of nairobi-booking:
// its four classes with their effects, deadlines and worths, and the rules of its site file.
func writeConfig(args []string) {
	flags := flag.NewFlagSet("config", flag.ExitOnError)
	name := flags.String("name", "n1", "name of the sidecar")
	listen := flags.String("listen", "", "address for clients")
	discovery := flags.String("discovery", "", "address of discovery")
	zone := flags.String("zone", "upper-hill", "zone of the sidecar")
	hosts := flags.String("hosts", "", "the list as this sidecar last had it")
	balancers := flags.Int("balancers", 1, "number of sidecars")
	cores := flags.Int("cores", 1, "cores that the sidecar may use")
	_ = flags.Parse(args)
	class := func(name, semantics string, aim, deadline, worth, late float64) object {
		return object{
			"Name": name, "Semantics": semantics, "AimMs": aim, "DeadlineMs": deadline, "Importance": worth,
			"LateShare": late, "KeyScope": "zone", "DedupWindowMs": 6000, "Stream": false,
		}
	}
	config := object{
		"name": *name, "listen": *listen, "discovery": *discovery, "seed": fmt.Sprintf("%016x", os.Getpid()),
		"limits": object{"cores": *cores, "memory_mb": 192, "sockets": 1024},
		"known":  object{"seq": 1, "whole": true, "hosts": parseHosts(*hosts)},
		"settings": object{
			"Balancers": *balancers, "Me": 0, "Zone": *zone, "Discovery": "ask", "Family": "mesh", "TickMs": 5,
			"FailureDomains": []string{"upper-hill", "industrial-area", "athi-river", "thika-road"},
			"HostTypes":      []string{"new-fast", "standard", "old-slow"},
			"Classes": []object{
				class("seat-search", "retryable", 800, 1500, 3, 0.3),
				class("coach-map", "retryable", 600, 3000, 3, 0.3),
				class("confirm-booking", "fragile", 1200, 5000, 10, 0.5),
				class("payment-record", "dedup", 2500, 6000, 8, 0.3),
			},
			"Limits": object{
				"Cancelling": true, "SecondCopies": true, "Probes": false, "Peers": false, "ConnIdleMs": 15000,
				"ConnectTimeoutMs": 250, "SendCap": 5, "StreamsPerConn": 1, "RetryAfter": true, "MaxRetryAfterMs": 2000,
			},
			"Rules": object{
				"ColdFrom": 0.3, "DrainGraceMs": 250, "FallMs": 2000, "FallMultiple": 3, "GraceToAnswerMs": 20,
				"MustAskInMs": 10000, "WarmUpMs": 8800,
			},
			"Stats": object{"Names": []string{}, "Via": "none"}, "Tenants": []object{}, "Weights": "none",
			"WorthBy": "work",
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		fail(err.Error())
	}
	fmt.Println(string(text))
}
