//go:build !small

package main

import (
	"hazelwing/internal/load"
	"hazelwing/internal/load/grpcload"
)

func init() {
	grpcTarget = func(address string, body []byte) (load.Target, func() error, error) {
		t, err := grpcload.Dial(address, body)
		if err != nil {
			return nil, nil, err
		}
		return t, t.Close, nil
	}
}
