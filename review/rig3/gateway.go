package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// settings is deploy/settings.yaml as the platform fills it in for a gateway of canopy-coop.
const settings = `name: "%s"
zone: "se-hall1"
region: "southeast"
zones: {"se-hall1":"southeast","se-hall2":"southeast","se-hall3":"southeast"}
mesh: "%s:%d"
metrics: "%s:%d"
seeds: %s
store: "%s"
callers: "%s:%d"
ready: "%s:%d"
memory_mb: 284
max_procs: 1
link_mbps: 1000.0
memory:
  connection_bytes: 262144
  share: 0.25
bounds:
  revoke_ms: 5000
  retry_ratio: 0.2
  retry_free: 94
  retry_window_s: 10
  grace_s: 8
`

// gateway is one gateway process.
type gateway struct {
	rig                  *rig
	name, callers, ready string
	// settingsFile holds settings, and tells the first start from later ones as the platform does.
	settingsFile, settings string
	startedBefore          bool
	log                    *os.File
	process                *os.Process
	ended                  chan struct{}
}

func (r *rig) newGateway(i int, p ports) *gateway {
	ip := p.address[i]
	g := &gateway{
		rig: r, name: fmt.Sprintf("front-se-hall1-%d", i+1),
		callers: fmt.Sprintf("%s:%d", ip, p.callers), ready: fmt.Sprintf("%s:%d", ip, p.ready),
	}
	g.settingsFile = filepath.Join(r.folder, g.name+".yaml")
	g.settings = fmt.Sprintf(settings, g.name, ip, p.mesh, ip, p.metrics, p.quoted(), r.address, ip, p.callers, ip, p.ready)
	log, err := os.Create(filepath.Join(r.folder, g.name+".log"))
	if err != nil {
		panic(err)
	}
	g.log = log
	return g
}

// start starts the process as the deploy file says: in the root of the repository, with the
// path of its settings in the environment.
func (g *gateway) start() {
	text := g.settings
	if !g.startedBefore {
		text += "first_start: true\n"
	}
	g.startedBefore = true
	if err := os.WriteFile(g.settingsFile, []byte(text), 0o600); err != nil {
		panic(err)
	}
	cmd := exec.Command(filepath.Join(g.rig.root, "target", "bluebellwindd"), "gateway")
	cmd.Dir = g.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLWIND_SETTINGS=" + g.settingsFile}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	g.process, g.ended = cmd.Process, make(chan struct{})
	ended := g.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

// kill sends SIGKILL and waits for the end of the process.
func (g *gateway) kill() {
	if g.process == nil {
		return
	}
	_ = g.process.Signal(syscall.SIGKILL)
	<-g.ended
	g.process = nil
}

// awaitReady asks as the platform does until the gateway says that it is ready.
func (g *gateway) awaitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/bluebellwind/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
