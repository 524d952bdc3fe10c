package node

// SizeChanged stores the estimated number of members and passes it to the function that
// OnSizeChanged has set. The goroutine of Gossip.Run calls it.
func (n *Node) SizeChanged(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.size = size
	if n.onSizeChanged != nil {
		n.onSizeChanged(size)
	}
}

// OnSizeChanged sets the function that is called with the estimated number of members
// when it changes, and calls it at once if there is an estimate already. The function
// must not block or call methods of n.
func (n *Node) OnSizeChanged(f func(size int)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onSizeChanged = f
	if n.size > 0 {
		f(n.size)
	}
}

// HasSizeListener reports whether OnSizeChanged was called. If it was, the estimate is
// used instead of the configured number of members.
func (n *Node) HasSizeListener() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.onSizeChanged != nil
}
