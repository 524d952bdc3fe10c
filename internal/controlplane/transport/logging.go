package transport

// Values of the component attribute of log lines.
const (
	memberComponent = "config"
	originComponent = "origin"
)

// Keys of log attributes.
const (
	keyComponent = "component"
	keyCount     = "count"
	keyDetail    = "detail"
	keyError     = "error"
	keyKind      = "kind"
	keyUpstream  = "upstream"
)
