package balancer

// This rule determines whether the idle connections to an endpoint are closed after its last outstanding
// attempt has ended.
//
// Inputs: the number of the endpoint's outstanding attempts, the number of sidecars, and the prices of open
// connections and of handshakes (shares of service).
//
// Why: with many sidecars, connections that wait for the next request fill the connection tables of all
// endpoints.

// pricedConnections is the number of open connections for each endpoint to which PriceOpenConnection
// applies.
const pricedConnections = 100

// closeIdle closes the idle connections to ep if it has no outstanding attempt and open connections are so
// expensive that one idle connection of each sidecar to each endpoint costs more than a handshake for each
// request. It prevents connection tables from filling up with idle connections.
func (b *Balancer) closeIdle(ep *endpoint) {
	openPrice := b.settings.PriceOpenConnection * float64(b.settings.Balancers)
	if len(ep.outstanding) == 0 && openPrice > pricedConnections*b.settings.PriceHandshake {
		b.emit(Action{Kind: CloseIdle, Endpoint: ep.id})
	}
}
