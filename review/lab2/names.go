package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the headers, paths and fields of the users' platform.
var names = readNames()

// readNames decodes the data file.
func readNames() map[string]string {
	var n map[string]string
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
