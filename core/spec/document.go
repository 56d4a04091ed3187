// Package spec is the document of an environment: what operators declare about
// classes of work, workspaces, pools, backend servers and plain services.
package spec

// Document declares one environment. It is strict JSON: unknown fields are
// faults.
type Document struct {
	Environment string `json:"environment"`
	// Lot names the batch this document belongs to; a recalled lot takes the
	// document out of force.
	Lot            string          `json:"lot"`
	Regions        []Region        `json:"regions"`
	Classes        []Class         `json:"classes"`
	Workspaces     []Workspace     `json:"workspaces"`
	Pools          []Pool          `json:"pools"`
	BackendServers []BackendServer `json:"backend_servers"`
	Services       []Service       `json:"services,omitempty"`
	Operators      []Operator      `json:"operators"`
	Limits         Limits          `json:"limits,omitzero"`
}

// Region is a group of failure domains with short delays between them.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failure_domains"`
}

// Class is a contract for a kind of work: its tier and what it is promised.
type Class struct {
	Name string `json:"name"`
	// Tier orders classes, 1 the highest, 6 the lowest.
	Tier int `json:"tier"`
	// FirstTokenMs is the target for the first token, in milliseconds.
	FirstTokenMs int `json:"first_token_ms"`
	// BetweenTokensMs is the target between tokens, in milliseconds.
	BetweenTokensMs int `json:"between_tokens_ms"`
	// DeadlineMs bounds the whole call, in milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// Idempotent work may be retried, hedged and resumed.
	Idempotent bool `json:"idempotent"`
	// Priority is passed on to engines; a higher number goes first.
	Priority int `json:"priority"`
	// MinimumShare is the part of a cell's dispatches that the class gets
	// while it has work queued, whatever the tiers above ask for. The sum over
	// all classes is below 1.
	MinimumShare float64 `json:"minimum_share"`
	// MaximumTokens bounds the output of a call of this class; 0: no bound.
	MaximumTokens int `json:"maximum_tokens,omitempty"`
}

// Workspace is a customer: who may call, which classes, and how much.
type Workspace struct {
	Name         string   `json:"name"`
	Keys         []Key    `json:"keys"`
	Classes      []string `json:"classes"`
	DefaultClass string   `json:"default_class"`
	// Weight is the workspace's share against other workspaces of a class.
	Weight float64 `json:"weight"`
	// RequestsPerSecond, TokensPerSecond and InFlight are limits; 0: none.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	InFlight          int     `json:"in_flight,omitempty"`
}

// Key is a bearer key, kept as a hash.
type Key struct {
	Name string `json:"name"`
	// SHA256 is the hash of the key in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Pool is a group of backend servers that run one model.
type Pool struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Versions are the model versions this document lets run, the preferred
	// one first.
	Versions []Version `json:"versions"`
	Adapters []Adapter `json:"adapters,omitempty"`
	// MinimumServers is the number of servers that placement keeps loaded.
	MinimumServers int `json:"minimum_servers,omitempty"`
}

// Version is a version of a model with the lot it came in.
type Version struct {
	Name string `json:"name"`
	Lot  string `json:"lot,omitempty"`
}

// Adapter is a fine-tuned variant of a model, called by its own name.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Lot     string `json:"lot,omitempty"`
}

// BackendServer is one model engine.
type BackendServer struct {
	Name string `json:"name"`
	// Address is an URL with an IP number and a port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Pool          string `json:"pool"`
	// Slots is the number of calls that the engine batches at full speed.
	Slots int `json:"slots"`
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
	// ReportsLoad says that the engine answers the load endpoint.
	ReportsLoad bool `json:"reports_load"`
	// Leaving servers finish what they run and get nothing new.
	Leaving bool `json:"leaving,omitempty"`
}

// Service is a plain service beside the engines, forwarded to by path.
type Service struct {
	Name  string   `json:"name"`
	Class string   `json:"class"`
	URLs  []string `json:"urls"`
	// RepeatableMethods lists the methods that may be sent again. All other
	// methods need an idempotency key and run at most once.
	RepeatableMethods []string `json:"repeatable_methods"`
	// TimeoutMs bounds one call, in milliseconds.
	TimeoutMs int `json:"timeout_ms"`
	// TrustConnectionEnds: answers with neither a length nor chunks count as whole when their
	// connection ends. Cut ones can't be told from whole ones.
	TrustConnectionEnds bool `json:"trust_connection_ends,omitempty"`
}

// Operator may change and read the environment's state.
type Operator struct {
	Name string `json:"name"`
	Keys []Key  `json:"keys"`
}

// Limits are bounds for the whole environment; a zero takes the default.
type Limits struct {
	QueuedPerCell  int     `json:"queued_per_cell,omitempty"`
	RetryShare     float64 `json:"retry_share,omitempty"`
	HedgeShare     float64 `json:"hedge_share,omitempty"`
	EntryTTLSecond int     `json:"entry_ttl_seconds,omitempty"`
}
