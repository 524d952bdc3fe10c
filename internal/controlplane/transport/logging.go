package transport

// Values of the component attribute of log lines.
const (
	memberComponent = "config"
	originComponent = "origin"
)

// Keys of the attributes of log lines.
const (
	keyComponent = "component"
	keyCount     = "count"
	keyDetail    = "detail"
	keyError     = "error"
	keyKind      = "kind"
	keyUpstream  = "upstream"
)
