package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"bramleyquay.example/router/fleetclient"
	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/routefile"
)

const (
	// rangesNetwork is the network of the addresses of the cluster's processes.
	rangesNetwork = "127.9.9"
	// rangesKeys is the number of keys, evenly spaced, that are requested.
	rangesKeys = 64
	// rangesTimeout bounds the wait until all keys are served: a lease of 3.6 s, the
	// next announcement of the new holder, and time for a busy machine.
	rangesTimeout = 20 * time.Second
)

// runRanges runs a cluster in fleet mode: it bootstraps from its seeds, moves the key
// ranges of a lost target and replaces a control replica that has lost its disk. Key
// ranges are granted in the answers to the targets' announcements or by calls to them.
func runRanges(ctx context.Context, o options, folder string, grantsByRequest bool) error {
	logf("key ranges, granted by calls: %t: starting 3 control replicas, and 4 targets with their sidecar processes", grantsByRequest)
	folder = filepath.Join(folder, fmt.Sprint("ranges-", grantsByRequest))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	f, err := harness.NewFleet(harness.FleetLayout{
		Folder: folder, Daemon: o.Daemon, Standin: o.RangeTarget, Network: rangesNetwork, Replicas: 3, ToleratedFailures: 1,
		MemberServices: []string{"seats", "seats", "seats", "mail"}, KeyedServices: []string{"seats"},
		AnnounceInterval: 300 * time.Millisecond, MaxGrantTime: 4 * time.Second, ShutdownTimeout: 6 * time.Second, ServiceTime: 2 * time.Millisecond,
		GrantsByRequest: grantsByRequest,
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.Start(); err != nil {
		return err
	}
	client := fleetclient.New(f.Seeds(), []byte(f.Secret))
	defer client.Close()
	if err := applyRoutes(ctx, client, filepath.Join(o.Examples, "..", "ranges", "routes.hujson")); err != nil {
		return err
	}
	ingress := f.Members[3]
	if _, err := awaitServed(ctx, ingress); err != nil {
		return err
	}
	logf("all keys are served; killing the target of %s and wiping the disk of %s", f.Members[0].Name, f.Replicas[0].Name)
	f.Members[0].Target.Kill()
	f.Replicas[0].Daemon.Kill()
	if err := os.RemoveAll(f.Replicas[0].DataFolder); err != nil {
		return err
	}
	if err := os.Mkdir(f.Replicas[0].DataFolder, 0o700); err != nil {
		return err
	}
	if err := f.Replicas[0].Daemon.Start(); err != nil {
		return err
	}
	took, err := awaitServed(ctx, ingress)
	if err != nil {
		return err
	}
	logf("all keys are served again after %s", took.Round(10*time.Millisecond))
	return awaitVoters(ctx, client)
}

// applyRoutes applies the routing document in file as the first one.
func applyRoutes(ctx context.Context, client *fleetclient.Client, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	document, findings := routefile.Parse(text)
	if len(findings) > 0 {
		return fmt.Errorf("%s: %v", file, findings)
	}
	ctx, cancel := context.WithTimeout(ctx, rangesTimeout)
	defer cancel()
	result, err := client.Apply(ctx, document, text, 0)
	if err == nil {
		logf("routing document: %s, version %d", result.Status, result.Version)
	}
	return err
}

// awaitServed waits until rangesKeys keys all over the key space are served without a
// failure in between, and returns how long that took.
func awaitServed(ctx context.Context, ingress *harness.FleetNode) (time.Duration, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, rangesTimeout)
	defer cancel()
	var err error
	for servedKeys := 0; servedKeys < rangesKeys; servedKeys++ {
		if ctx.Err() != nil {
			return 0, fmt.Errorf("not all keys were served within %s: %w", rangesTimeout, err)
		}
		if err = requestKey(ctx, ingress, servedKeys*(1<<16)/rangesKeys); err != nil {
			servedKeys = -1
		}
	}
	return time.Since(begun), nil
}

// requestKey sends a request for a key to the member ingress and returns an error
// unless it is served.
func requestKey(ctx context.Context, ingress *harness.FleetNode, key int) error {
	r, err := ingress.Request(ctx, harness.FleetRequest{
		Method: http.MethodGet, Host: "seats.example", Path: "/view/x", Key: key,
		ID: fmt.Sprintf("demo-%d-%d", key, time.Now().UnixNano()), Timeout: 2 * time.Second,
	})
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // only read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("key %d: status %d", key, resp.StatusCode)
	}
	return nil
}

// awaitVoters waits until the control group has three voters and no learners, and the
// leader has at least three active replicas.
func awaitVoters(ctx context.Context, client *fleetclient.Client) error {
	ctx, cancel := context.WithTimeout(ctx, rangesTimeout)
	defer cancel()
	for {
		st, err := client.Status(ctx)
		if err == nil && len(st.Voters) == 3 && len(st.Learners) == 0 && len(st.Active) >= 3 {
			logf("the control group has replaced the lost replica: voters %v", st.Voters)
			return nil
		}
		if waitErr := wait(ctx, 100*time.Millisecond); waitErr != nil {
			return fmt.Errorf("the control group did not replace the lost replica within %s: voters %v, %w", rangesTimeout, st.Voters, err)
		}
	}
}
