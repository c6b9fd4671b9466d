package config

// DataCentre is a location of instances.
type DataCentre struct {
	Name string `json:"name"`
	// Region is a common name of data centres that are near each other.
	Region string `json:"region,omitempty"`
	// Drained takes the data centre out of service: it receives no new work.
	Drained bool `json:"drained,omitempty"`
}
