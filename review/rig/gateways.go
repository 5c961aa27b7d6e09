package rig

import (
	"fmt"
	"time"
)

// readyTimeout is how long a gateway may take until it is ready.
const readyTimeout = 15 * time.Second

// StartGateways starts gateways, and returns the addresses at which they serve callers and a
// function that stops them, also with an error.
func StartGateways(r *Record, dir string, store *Store, count int) (addresses []string, stop func(), err error) {
	var processes []*Process
	stop = func() {
		for _, p := range processes {
			p.Stop()
		}
	}
	var ports [3]int
	for i := range ports {
		if ports[i], err = FreePort(); err != nil {
			return nil, stop, err
		}
	}
	var ready []string
	for i := range count {
		ip := fmt.Sprintf("127.0.2.%d", 10+i)
		s := Settings{
			Name: fmt.Sprintf("front-%d", i), IP: ip, Store: store.Address, Seed: "127.0.2.10:1", MeshPort: ports[0],
			Callers: fmt.Sprintf("%s:%d", ip, ports[1]), Ready: fmt.Sprintf("%s:%d", ip, ports[2]),
		}
		p, err := StartProcess(r, dir, "gateway", s.Name, s.YAML(), true)
		if err != nil {
			return nil, stop, err
		}
		processes = append(processes, p)
		addresses, ready = append(addresses, s.Callers), append(ready, s.Ready)
	}
	for _, address := range ready {
		if err := WaitReady(address, readyTimeout); err != nil {
			return nil, stop, err
		}
	}
	return addresses, stop, nil
}
