// Package harness starts clusters of real processes on this machine for the
// demo and the scenario tests.
package harness

// Service is a service with its targets.
type Service struct {
	Name    string
	Targets int
	// TargetArgs holds further arguments for the stand-in targets.
	TargetArgs []string
	// ChecksFences says that the targets check fences.
	ChecksFences bool
}

// Layout describes a cluster. Targets are spread over the data centres in turn.
type Layout struct {
	DataCentres []string
	Services    []Service
	// Replicas is the number of control-only processes.
	Replicas int
	// Folder holds settings, logs and data.
	Folder string
	// Daemon and Standin are the programs.
	Daemon, Standin string
	// Template is the file with the settings of one process.
	Template string
	LogLevel string
}

// MuscatLayout returns the layout of the Muscat cluster: 3 data centres, 11 targets
// with 12 slots and 3 control replicas.
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
