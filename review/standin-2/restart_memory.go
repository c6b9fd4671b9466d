package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// addedRoutes is four times the 350 routes of one big_config of the site.
	addedRoutes = 1400
	// changes is the number of further changes of the configuration.
	changes = 440
	// changesTime bounds the time for them: the script ends after 120 s.
	changesTime = 84 * time.Second
	// recovery and stabilityWindow are bounds of the site.
	recovery        = 15 * time.Second
	stabilityWindow = 3 * time.Second
)

// restartMemory changes a large configuration some hundred times, then kills all
// processes of the core at the same moment and starts them within a second. The newest
// acknowledged version must be read back after `recovery`.
func restartMemory(d *deployment, trouble bool) (bool, error) {
	if err := d.start(0, "", firstConfiguration()); err != nil {
		return false, err
	}
	d.record.add("version 00000001 with %d routes acknowledged", addedRoutes)
	version, until := 1, time.Now().Add(changesTime)
	for i := range changes {
		m, err := d.order("/-/config/update", fmt.Sprintf("%08x", version), smallChange(version+1, 1000+i%200), until)
		if err != nil {
			return false, err
		}
		version++
		d.record.add("version %08x acknowledged by %s", version, m.name)
		if i%40 == 39 {
			d.describe("after %d changes", i+1)
		}
	}
	if trouble {
		d.record.add("all processes of the core are killed")
		for _, m := range d.cores {
			m.kill()
		}
		time.Sleep(700 * time.Millisecond)
		for _, m := range d.cores {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		d.record.add("all processes of the core are started")
		time.Sleep(recovery)
	}
	return d.readBack(version), nil
}

// describe records the memory and the disk of the core.
func (d *deployment) describe(format string, args ...any) {
	var memory []int
	var disk []int64
	for _, m := range d.cores {
		_, peak := m.counters()
		memory, disk = append(memory, peak), append(disk, m.dataMB())
	}
	d.record.add(format+"; peak memory %v MiB, disk %v MB", append(args, memory, disk)...)
}

// readBack reports whether a version is read back within stabilityWindow, from any
// machine.
func (d *deployment) readBack(version int) bool {
	want := fmt.Sprintf("%08x", version)
	for until := time.Now().Add(stabilityWindow); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, m := range d.cores {
			status, answer := d.call(m, http.MethodGet, "/-/config/read", "", "")
			if status != http.StatusOK {
				d.record.add("%s answers the read with status %d", m.name, status)
				continue
			}
			var c struct {
				Version string `json:"version"`
			}
			err := json.Unmarshal(answer, &c)
			d.record.add("%s reads version %s, expected %s", m.name, c.Version, want)
			return err == nil && c.Version == want
		}
	}
	for _, m := range d.cores {
		over, _ := m.counters()
		d.record.add("%s was killed %d times for too much memory", m.name, over)
	}
	return false
}

func ruleText(i, timeoutMs int) string {
	return fmt.Sprintf(`{"name":"r-%06d","routeType":"safe","targetLatency":"600ms","priority":2,"match":{"pathPrefix":"/p%06d/"},`+
		`"action":{"service":"huvo11a","timeout":"%dms","attempts":2}}`, i, i, timeoutMs)
}

func firstConfiguration() string {
	rules := make([]string, 0, addedRoutes)
	for i := range addedRoutes {
		rules = append(rules, ruleText(i, 1200))
	}
	return `{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
		`"listeners":[{"host":"jepu9.example","rules":[` + strings.Join(rules, ",") + `]}],` +
		`"clusters":[{"name":"huvo11a","healthCheck":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldPeriod":"3s","coldPerS":4.6}]}`
}

// smallChange changes the timeout of one route.
func smallChange(version, timeoutMs int) string {
	return fmt.Sprintf(`{"version":"%08x","upsert":{"listeners":[{"host":"jepu9.example","rules":[%s]}]},"remove":{}}`, version, ruleText(0, timeoutMs))
}
