//go:build review

package main

import (
	"net"
	"sync"
)

// proxy is a link to a listener. While it is cut it forwards nothing, and its connections stay open and silent; they end
// when it is healed.
type proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	isCut bool
	held  []net.Conn
}

func startProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) cut() {
	p.mu.Lock()
	p.isCut = true
	p.mu.Unlock()
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	for _, conn := range p.held {
		_ = conn.Close()
	}
	p.held = nil
}

// hold keeps connections open and silent if the link is cut, and reports whether it is.
func (p *proxy) hold(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		p.held = append(p.held, conns...)
	}
	return p.isCut
}

func (p *proxy) serve(client net.Conn) {
	if p.hold(client) {
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if p.hold(to, from) {
				return
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go forward(server, client)
	go forward(client, server)
}
