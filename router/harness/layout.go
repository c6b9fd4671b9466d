// Package harness starts clusters of real processes on this machine, injects
// faults and sends load, for the scenario tests, the soak test and the examples.
// Cluster is a cluster with hashed shards, Fleet one with a routing document and
// key ranges.
package harness

// Service is a service with its targets.
type Service struct {
	Name    string
	Targets int
	// TargetArgs are additional arguments for the stand-in targets.
	TargetArgs []string
	// ChecksFences means that the targets check fences: grants and epochs.
	ChecksFences bool
}

// Layout describes a cluster with hashed shards. Its targets are assigned to the
// data centres in turn.
type Layout struct {
	DataCentres []string
	Services    []Service
	// Replicas is the number of control replicas.
	Replicas int
	// Folder is where settings, logs and data are stored. It must exist.
	Folder string
	// Daemon and Standin are the paths of the programs.
	Daemon, Standin string
	// Template is the file with the template of a process's settings.
	Template string
	LogLevel string
}

// MuscatLayout returns the layout of the Muscat cluster: 3 data centres, 11 targets
// with 12 slots and 3 control replicas. The caller sets Folder, Daemon, Standin and
// Template.
func MuscatLayout() Layout {
	slots := []string{"--slots=12", "--service-time=2ms"}
	return Layout{
		DataCentres: []string{"mct-1", "mct-2", "mct-3"},
		Services: []Service{
			{Name: "catalogue", Targets: 4, TargetArgs: slots, ChecksFences: true},
			{Name: "enrolment", Targets: 3, TargetArgs: slots, ChecksFences: true},
			{Name: "learners", Targets: 4, TargetArgs: slots},
		},
		Replicas: 3, LogLevel: "info",
	}
}
