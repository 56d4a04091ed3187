package main

import (
	"embed"
	"encoding/json"
	"strings"
)

// data holds the names of the users' pages, the settings of a gateway and the configurations of the operator.
//
//go:embed wire.txt settings.txt configs
var data embed.FS

// names holds the names of the pages by the names that this program uses.
var names = readNames()

func readNames() map[string]string {
	content, _ := data.ReadFile("wire.txt")
	found := map[string]string{}
	for line := range strings.Lines(string(content)) {
		if name, value, isPair := strings.Cut(strings.TrimSpace(line), " = "); isPair {
			found[name] = value
		}
	}
	return found
}

// wire returns a name of the pages.
func wire(name string) string {
	value, found := names[name]
	if !found {
		panic("no name of the pages for " + name)
	}
	return value
}

// settingsTemplate returns the settings file of a gateway with verbs for its values.
func settingsTemplate() string {
	content, _ := data.ReadFile("settings.txt")
	return string(content)
}

// config returns a configuration of the operator.
func config(name string) json.RawMessage {
	content, err := data.ReadFile("configs/" + name + ".json")
	if err != nil {
		panic(err)
	}
	return content
}
