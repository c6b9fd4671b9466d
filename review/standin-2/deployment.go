package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deployment is a small deployment: five core machines in three zones, of which two may
// be lost at once, as the site sahwa-enrol has them, and machines with a backend, which
// a case adds.
type deployment struct {
	program  string
	folder   string
	record   *record
	client   *http.Client
	cores    []*machine
	sidecars []*machine
	seeds    []string
	ports    ports
	// heartbeat is the interval of the backends' heartbeats.
	heartbeat time.Duration
}

// ports are the same on all machines. control is for the calls of the operator and of
// the backends.
type ports struct {
	control, outbound, inbound, ready, app int
	internal                               []int
}

const (
	portCount = 7
	// maxMachines is the highest number of an address.
	maxMachines = 14
)

var zones = []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}

const (
	// coreMemoryMB and sidecarMemoryMB are the limits of processes, in MiB, as the site
	// has them.
	coreMemoryMB    = 280
	sidecarMemoryMB = 284
	// heartbeat is the interval of the site sahwa-enrol.
	heartbeat = 870 * time.Millisecond
)

func newDeployment(program string, r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, folder: folder, record: r, client: &http.Client{Timeout: 3 * time.Second}, heartbeat: heartbeat}
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	d.ports = ports{control: base, outbound: base + 1, inbound: base + 2, ready: base + 3, app: base + 4, internal: []int{base + 5, base + 6}}
	for i := range zones {
		m := &machine{deployment: d, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("127.83.%d.1", i+1), zone: zones[i]}
		if i%2 == 0 {
			d.seeds = append(d.seeds, m.address(d.ports.control))
		}
		d.cores = append(d.cores, m)
	}
	return d, nil
}

// start installs and starts the core and a process beside each of n backends of a
// service, and sets a first configuration.
func (d *deployment) start(n int, service, configuration string) error {
	for _, m := range d.cores {
		if err := m.installCore(); err != nil {
			return err
		}
	}
	for range n {
		if err := d.addSidecar(service); err != nil {
			return err
		}
	}
	for _, m := range d.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	if _, err := d.order("/-/config/replace", "00000000", configuration, time.Now().Add(10*time.Second)); err != nil {
		return err
	}
	for _, m := range d.machines() {
		if err := m.notFirstStart(); err != nil {
			return err
		}
	}
	return nil
}

// addSidecar adds a machine with a backend of a service.
func (d *deployment) addSidecar(service string) error {
	n := len(d.sidecars) + 1
	m := &machine{deployment: d, name: fmt.Sprintf("sidecar-%d", n), ip: fmt.Sprintf("127.83.%d.1", 10+n), zone: zones[2*n%len(zones)]}
	d.sidecars = append(d.sidecars, m)
	return m.installSidecar(service)
}

// freePorts returns the first of portCount consecutive ports that are free on all
// addresses that a deployment may have.
func freePorts() (int, error) {
	for base := 20000 + os.Getpid()%20000; base < 60000; base += portCount {
		if arePortsFree(base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func arePortsFree(base int) bool {
	for machine := 1; machine <= maxMachines; machine++ {
		for port := base; port < base+portCount; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.83.%d.1:%d", machine, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (d *deployment) machines() []*machine { return slices.Concat(d.cores, d.sidecars) }

func (d *deployment) close() {
	for _, m := range d.machines() {
		m.kill()
	}
	os.RemoveAll(d.folder)
}

// machine runs one process of the program and restarts it when it ends, as the platform
// does. A process that takes more memory than it may is killed.
type machine struct {
	deployment *deployment
	name, ip   string
	zone       string
	memoryMB   int

	mu      sync.Mutex
	process *exec.Cmd
	removed bool
	// overLimit counts the kills for too much memory, peak is the highest figure seen
	// since the last start, in MiB.
	overLimit, peak int
}

func (m *machine) folder() string { return filepath.Join(m.deployment.folder, m.name) }

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) installCore() error {
	data := filepath.Join(m.folder(), "data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	m.memoryMB = coreMemoryMB
	settings := m.commonSettings("control", "core")
	settings["listen"] = map[string]string{"control": m.address(m.deployment.ports.control)}
	settings["faultCounted"], settings["dataDir"] = true, data
	return m.writeSettings(settings)
}

func (m *machine) installSidecar(service string) error {
	if err := os.MkdirAll(m.folder(), 0o755); err != nil {
		return err
	}
	m.memoryMB = sidecarMemoryMB
	p, settings := m.deployment.ports, m.commonSettings("sidecar", "sidecar")
	settings["listen"] = map[string]string{
		"control": m.address(p.control), "outbound": m.address(p.outbound), "inbound": m.address(p.inbound), "ready": m.address(p.ready),
	}
	settings["dataDir"], settings["appAddr"], settings["service"] = nil, m.address(p.app), service
	return m.writeSettings(settings)
}

func (m *machine) commonSettings(serves, class string) map[string]any {
	zoneRegions := map[string]string{}
	for _, z := range zones {
		zoneRegions[z] = "region"
	}
	return map[string]any{
		"node": m.name, "role": serves, "instanceClass": class, "serves": []string{serves}, "ip": m.ip,
		"zone": m.zone, "region": "region", "zones": zoneRegions, "internalPorts": m.deployment.ports.internal,
		"seeds": m.deployment.seeds, "bootstrap": true, "faultCounted": false, "discovery": "static", "entry": "static",
		"limits":    map[string]any{"cpuShare": 0.96, "cores": 1, "memoryMb": m.memoryMB, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 256},
		"heartbeat": strconv.Itoa(int(m.deployment.heartbeat.Milliseconds())) + "ms", "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "own", "places"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "grants": "heartbeat",
		"bounds": map[string]any{
			"stabilityWindow": "3000ms", "ack": "4000ms", "catchUp": "4s", "drain": "2000ms", "grace": "6s", "configApply": "2000ms",
			"retryBudgetRatio": 0.2, "budgetWindow": "10s", "budgetSlack": 62, "evacuation": "5000ms", "recovery": "15s", "maxHold": "10000ms",
		},
	}
}

func (m *machine) settingsPath() string { return filepath.Join(m.folder(), "boot.json") }

func (m *machine) writeSettings(settings map[string]any) error {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), text, 0o644)
}

// notFirstStart clears the field that is set for the very first start only.
func (m *machine) notFirstStart() error {
	text, err := os.ReadFile(m.settingsPath())
	if err != nil {
		return err
	}
	settings := map[string]any{}
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	settings["bootstrap"] = false
	return m.writeSettings(settings)
}

const (
	restartDelay = 300 * time.Millisecond
	memoryCheck  = 5 * time.Millisecond
)

func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startLocked()
}

func (m *machine) startLocked() error {
	logFile, err := os.OpenFile(filepath.Join(m.folder(), "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.Command(m.deployment.program)
	process.Env = []string{"BRAMLEYQUAY_NODE_FILE=" + m.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + m.folder(), "LANG=C"}
	process.Stdout, process.Stderr = logFile, logFile
	if err := process.Start(); err != nil {
		return err
	}
	m.process, m.removed, m.peak = process, false, 0
	ended := make(chan struct{})
	go m.watchMemory(process, ended)
	go func() {
		_ = process.Wait()
		close(ended)
		m.restart(process)
	}()
	return nil
}

// restart starts the process again after restartDelay, unless it was killed by kill.
func (m *machine) restart(ended *exec.Cmd) {
	time.Sleep(restartDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != ended || m.removed {
		return
	}
	if err := m.startLocked(); err != nil {
		m.deployment.record.add("%s does not start: %v", m.name, err)
	}
}

func (m *machine) watchMemory(process *exec.Cmd, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryCheck):
		}
		size := residentMB(process.Process.Pid)
		m.mu.Lock()
		m.peak = max(m.peak, size)
		m.mu.Unlock()
		if size <= m.memoryMB {
			continue
		}
		m.mu.Lock()
		m.overLimit++
		m.mu.Unlock()
		m.deployment.record.add("%s takes %d MiB of memory, more than %d: killed, and started again", m.name, size, m.memoryMB)
		_ = process.Process.Kill()
		return
	}
}

// residentMB returns the memory that a process uses now, in MiB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib / 1024
		}
	}
	return 0
}

// kill ends the process; it is not started again before the next call of start.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removed = true
	if m.process != nil {
		_ = m.process.Process.Kill()
	}
}

func (m *machine) counters() (overLimit, peak int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overLimit, m.peak
}

// dataMB returns the size of the machine's disk folder, in MB.
func (m *machine) dataMB() int64 {
	total := int64(0)
	_ = filepath.Walk(filepath.Join(m.folder(), "data"), func(_ string, info os.FileInfo, err error) error {
		if err == nil {
			total += info.Size()
		}
		return nil
	})
	return total / 1e6
}

// call sends one call of the operator to a machine. The status is 0 if there was no
// answer.
func (d *deployment) call(m *machine, method, path, base, body string) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+m.address(d.ports.control)+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if base != "" {
		req.Header.Set("Base-Version", base)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// order sends an order to one machine after the other until it is acknowledged.
func (d *deployment) order(path, base, body string, until time.Time) (*machine, error) {
	for i := 0; time.Now().Before(until); i++ {
		m := d.cores[i%len(d.cores)]
		status, answer := d.call(m, http.MethodPost, path, base, body)
		switch {
		case status >= 200 && status < 300:
			return m, nil
		case status >= 400 && status < 500:
			return nil, fmt.Errorf("%s answers %d: %.200s", m.name, status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("no acknowledgement in time for %s on version %s", path, base)
}
