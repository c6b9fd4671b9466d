package config_test

import (
	"fmt"

	"bramleyquay.example/coord/config"
)

func ExampleValidate() {
	d := &config.Document{
		DataCentres: []config.DataCentre{{Name: "east"}},
		Services:    []config.Service{{Name: "orders", DataCentres: []string{"east", "west"}}},
	}
	for _, f := range config.Validate(d) {
		fmt.Println(f)
	}
	// Output: services[0].dataCentres[1]: data centre "west" is not defined
}
