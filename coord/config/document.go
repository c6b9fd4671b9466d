// Package config defines the configuration document that operators write:
// services, data centres, the rules that assign keys to data centres, limits and
// the switches of automatic actions.
//
// It belongs to the mode with hashed shards (package control).
package config

// Document is one revision of the operator's configuration. Durations are in
// milliseconds unless a name says otherwise.
type Document struct {
	DataCentres []DataCentre `json:"dataCentres"`
	Services    []Service    `json:"services"`
	Automation  Automation   `json:"automation"`
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// DataCentre returns the data centre of that name, or nil.
func (d *Document) DataCentre(name string) *DataCentre {
	for i := range d.DataCentres {
		if d.DataCentres[i].Name == name {
			return &d.DataCentres[i]
		}
	}
	return nil
}
