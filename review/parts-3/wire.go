package main

import (
	"embed"
	"strings"
)

// data holds the names of the users' pages, and the settings of a host with verbs for its values.
//
//go:embed wire.txt settings.txt
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

// settingsText returns the settings file of a host with verbs for its values.
func settingsText() string {
	content, _ := data.ReadFile("settings.txt")
	return string(content)
}
