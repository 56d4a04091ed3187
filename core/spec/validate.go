package spec

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	// lowestTier is the number of tiers.
	lowestTier = 6
	// maximumSlots bounds the slots of a backend server; more is a typing error.
	maximumSlots = 4096
	namePattern  = `^[a-z0-9][a-z0-9._-]{0,62}$`
	modelPattern = `^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`
)

// validator checks what a document means.
type validator struct {
	document Document
	report   func(path string, problem Problem)
	name     *regexp.Regexp
	model    *regexp.Regexp
	classes  map[string]bool
	pools    map[string]bool
	domains  map[string]bool
	// hashes, addresses and callable hold the path of the first use.
	hashes    map[string]string
	addresses map[string]string
	callable  map[string]string
}

// validate reports the faults of meaning of a document.
func validate(document Document, report func(path string, problem Problem)) {
	validator := &validator{
		document: document, report: report,
		name: regexp.MustCompile(namePattern), model: regexp.MustCompile(modelPattern),
		classes: map[string]bool{}, pools: map[string]bool{}, domains: map[string]bool{},
		hashes: map[string]string{}, addresses: map[string]string{}, callable: map[string]string{},
	}
	validator.names("environment", document.Environment)
	validator.names("lot", document.Lot)
	validator.regions()
	validator.allClasses()
	validator.allPools()
	validator.servers()
	validator.services()
	validator.workspaces()
	validator.operators()
	validator.limits()
}

// fail reports a value that is not allowed.
func (validator *validator) fail(path string, found any, allowed, text string) {
	problem := Problem{Allowed: allowed, Text: text}
	if found != nil {
		problem.Found = quote(fmt.Appendf(nil, "%v", found))
		if text, isText := found.(string); isText {
			problem.Found = quote([]byte(strconv.Quote(text)))
		}
	}
	validator.report(path, problem)
}

// names checks a name.
func (validator *validator) names(path, name string) {
	if !validator.name.MatchString(name) {
		validator.fail(path, name, namePattern, "the name is bad")
	}
}

// models checks the name of a model, an adapter or a version.
func (validator *validator) models(path, name string) {
	if !validator.model.MatchString(name) {
		validator.fail(path, name, modelPattern, "the name is bad")
	}
}

// unique reports the second use of a value.
func (validator *validator) unique(path, value string, used map[string]string) {
	if first, twice := used[value]; twice && value != "" {
		validator.fail(path, value, "", "the value is used at "+first+" already")
		return
	}
	used[value] = path
}

// number reports a number outside its bounds.
func number[N int | float64](validator *validator, path string, found, least, most N) {
	if found < least || found > most {
		validator.fail(path, found, fmt.Sprintf("%v to %v", least, most), "the number is out of bounds")
	}
}

// some reports an empty list.
func (validator *validator) some(path string, length int) {
	if length == 0 {
		validator.fail(path, nil, "at least one", "the list is empty")
	}
}

// refer reports a reference to something that does not exist.
func (validator *validator) refer(path, name, what string, known map[string]bool) {
	if known[name] {
		return
	}
	names := []string{}
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	validator.fail(path, name, quote([]byte(strings.Join(names, ", "))), "there is no such "+what)
}

func (validator *validator) regions() {
	validator.some("regions", len(validator.document.Regions))
	regions, domains := map[string]string{}, map[string]string{}
	for index, region := range validator.document.Regions {
		path := fmt.Sprintf("regions[%d]", index)
		validator.names(path+".name", region.Name)
		validator.unique(path+".name", region.Name, regions)
		validator.some(path+".failure_domains", len(region.FailureDomains))
		for index, domain := range region.FailureDomains {
			path := fmt.Sprintf("%s.failure_domains[%d]", path, index)
			validator.names(path, domain)
			validator.unique(path, domain, domains)
			validator.domains[domain] = true
		}
	}
}

func (validator *validator) allClasses() {
	validator.some("classes", len(validator.document.Classes))
	names, sum := map[string]string{}, 0.0
	for index, class := range validator.document.Classes {
		path := fmt.Sprintf("classes[%d]", index)
		validator.names(path+".name", class.Name)
		validator.unique(path+".name", class.Name, names)
		validator.classes[class.Name] = true
		number(validator, path+".tier", class.Tier, 1, lowestTier)
		number(validator, path+".deadline_ms", class.DeadlineMs, 1, 24*3600*1000)
		number(validator, path+".first_token_ms", class.FirstTokenMs, 1, max(1, class.DeadlineMs))
		number(validator, path+".between_tokens_ms", class.BetweenTokensMs, 0, max(1, class.DeadlineMs))
		number(validator, path+".minimum_share", class.MinimumShare, 0, 0.99)
		number(validator, path+".maximum_tokens", class.MaximumTokens, 0, 1<<30)
		sum += class.MinimumShare
	}
	if sum >= 1 {
		validator.fail("classes", sum, "below 1", "the minimum shares leave nothing for the order of tiers")
	}
}

func (validator *validator) allPools() {
	names := map[string]string{}
	if len(validator.document.Services) == 0 {
		validator.some("pools", len(validator.document.Pools))
	}
	servers := map[string]int{}
	for _, server := range validator.document.BackendServers {
		servers[server.Pool]++
	}
	for index, pool := range validator.document.Pools {
		path := fmt.Sprintf("pools[%d]", index)
		validator.names(path+".name", pool.Name)
		validator.unique(path+".name", pool.Name, names)
		validator.pools[pool.Name] = true
		validator.models(path+".model", pool.Model)
		validator.unique(path+".model", pool.Model, validator.callable)
		number(validator, path+".minimum_servers", pool.MinimumServers, 0, servers[pool.Name])
		validator.versions(path, pool)
	}
}

func (validator *validator) versions(path string, pool Pool) {
	validator.some(path+".versions", len(pool.Versions))
	versions := map[string]string{}
	for index, version := range pool.Versions {
		path := fmt.Sprintf("%s.versions[%d]", path, index)
		validator.models(path+".name", version.Name)
		validator.unique(path+".name", version.Name, versions)
		validator.lot(path+".lot", version.Lot)
	}
	for index, adapter := range pool.Adapters {
		path := fmt.Sprintf("%s.adapters[%d]", path, index)
		validator.models(path+".name", adapter.Name)
		validator.unique(path+".name", adapter.Name, validator.callable)
		validator.models(path+".version", adapter.Version)
		validator.lot(path+".lot", adapter.Lot)
	}
}

// lot checks the name of a lot that may be left out.
func (validator *validator) lot(path, lot string) {
	if lot != "" {
		validator.names(path, lot)
	}
}

func (validator *validator) servers() {
	names := map[string]string{}
	for index, server := range validator.document.BackendServers {
		path := fmt.Sprintf("backend_servers[%d]", index)
		validator.names(path+".name", server.Name)
		validator.unique(path+".name", server.Name, names)
		validator.address(path+".address", server.Address)
		validator.refer(path+".failure_domain", server.FailureDomain, "failure domain", validator.domains)
		validator.refer(path+".pool", server.Pool, "pool", validator.pools)
		number(validator, path+".slots", server.Slots, 1, maximumSlots)
	}
}

// address checks an URL with an IP number and a port, used once.
func (validator *validator) address(path, address string) {
	const allowed = "http://<IP number>:<port> or https://<IP number>:<port>"
	parsed, err := url.Parse(address)
	if err != nil {
		validator.fail(path, address, allowed, "the address is bad")
		return
	}
	endpoint, err := netip.ParseAddrPort(parsed.Host)
	plain := parsed.Path == "" && parsed.RawQuery == "" && parsed.Fragment == "" && parsed.User == nil && !parsed.ForceQuery
	known := parsed.Scheme == "http" || parsed.Scheme == "https"
	if err != nil || !plain || !known || endpoint.Port() == 0 {
		validator.fail(path, address, allowed, "the address is bad")
		return
	}
	validator.unique(path, address, validator.addresses)
}

func (validator *validator) services() {
	methods := []string{"GET", "HEAD", "OPTIONS", "PUT", "PATCH", "DELETE", "POST"}
	names := map[string]string{}
	for index, service := range validator.document.Services {
		path := fmt.Sprintf("services[%d]", index)
		validator.names(path+".name", service.Name)
		validator.unique(path+".name", service.Name, names)
		validator.refer(path+".class", service.Class, "class", validator.classes)
		validator.some(path+".urls", len(service.URLs))
		for index, address := range service.URLs {
			validator.address(fmt.Sprintf("%s.urls[%d]", path, index), address)
		}
		for index, method := range service.RepeatableMethods {
			if !slices.Contains(methods, method) {
				path := fmt.Sprintf("%s.repeatable_methods[%d]", path, index)
				validator.fail(path, method, strings.Join(methods, ", "), "the method is unknown")
			}
		}
		number(validator, path+".timeout_ms", service.TimeoutMs, 1, 24*3600*1000)
	}
}

func (validator *validator) workspaces() {
	validator.some("workspaces", len(validator.document.Workspaces))
	names := map[string]string{}
	for index, workspace := range validator.document.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", index)
		validator.names(path+".name", workspace.Name)
		validator.unique(path+".name", workspace.Name, names)
		validator.keys(path+".keys", workspace.Keys)
		validator.some(path+".classes", len(workspace.Classes))
		classes := map[string]string{}
		for index, class := range workspace.Classes {
			path := fmt.Sprintf("%s.classes[%d]", path, index)
			validator.refer(path, class, "class", validator.classes)
			validator.unique(path, class, classes)
		}
		if !slices.Contains(workspace.Classes, workspace.DefaultClass) {
			allowed := "one of the workspace's classes"
			validator.fail(path+".default_class", workspace.DefaultClass, allowed, "the workspace does not have the class")
		}
		number(validator, path+".weight", workspace.Weight, 0.001, 1e6)
		number(validator, path+".requests_per_second", workspace.RequestsPerSecond, 0, 1e9)
		number(validator, path+".tokens_per_second", workspace.TokensPerSecond, 0, 1e12)
		number(validator, path+".in_flight", workspace.InFlight, 0, 1<<30)
	}
}

// keys checks the keys of a workspace or an operator. A hash belongs to one of
// them only.
func (validator *validator) keys(path string, keys []Key) {
	validator.some(path, len(keys))
	names := map[string]string{}
	for index, key := range keys {
		path := fmt.Sprintf("%s[%d]", path, index)
		validator.names(path+".name", key.Name)
		validator.unique(path+".name", key.Name, names)
		digest, err := hex.DecodeString(key.SHA256)
		if err != nil || len(digest) != 32 || key.SHA256 != strings.ToLower(key.SHA256) {
			validator.fail(path+".sha256", key.SHA256, "64 lower-case hexadecimal digits", "the hash is bad")
			continue
		}
		validator.unique(path+".sha256", key.SHA256, validator.hashes)
	}
}

func (validator *validator) operators() {
	validator.some("operators", len(validator.document.Operators))
	names := map[string]string{}
	for index, operator := range validator.document.Operators {
		path := fmt.Sprintf("operators[%d]", index)
		validator.names(path+".name", operator.Name)
		validator.unique(path+".name", operator.Name, names)
		validator.keys(path+".keys", operator.Keys)
	}
}

func (validator *validator) limits() {
	limits := validator.document.Limits
	number(validator, "limits.queued_per_cell", limits.QueuedPerCell, 0, 1<<20)
	number(validator, "limits.retry_share", limits.RetryShare, 0, 1)
	number(validator, "limits.hedge_share", limits.HedgeShare, 0, 1)
	number(validator, "limits.entry_ttl_seconds", limits.EntryTTLSecond, 0, 3600)
}
