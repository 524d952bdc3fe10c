package cluster

import (
	"cmp"
	"slices"
	"time"
)

// word is one that holds.
type word struct {
	EndpointNotice
	at time.Duration // when it was said
}

func (m *Core) wordOf(w *word) EndpointNotice {
	out := w.EndpointNotice
	out.Age = m.now - w.at
	return out
}

// hearWord takes a word in: it holds for KeepWords from when it was first said, is told once, and is spread on. What is less
// than what is known, or old, is dropped.
func (m *Core) hearWord(w EndpointNotice) {
	if w.Endpoint == "" || len(w.Endpoint) > MaxNameLength || w.Age < 0 || w.Age >= m.cfg.NoticeTTL {
		m.stats.Rejected++
		return
	}
	old := m.words[w.Endpoint]
	if old != nil && !w.newer(&old.EndpointNotice) {
		return
	}
	if old == nil && len(m.words) >= mostWords {
		m.stats.Rejected++
		return
	}
	own := w.ReportedBy == m.me.Name
	m.words[w.Endpoint] = &word{w, m.now - w.Age}
	m.spread.add(news{server: w.Endpoint})
	if !own {
		m.out = append(m.out, Action{Kind: NoticeReceived, Notice: w})
	}
}

// dropWords takes back what is old. Guards against a word that is wrong, or of a process that has been replaced, and holds for good.
func (m *Core) dropWords() {
	var over []string
	for server, w := range m.words {
		if m.now-w.at >= m.cfg.NoticeTTL {
			over = append(over, server)
		}
	}
	slices.Sort(over)
	for _, server := range over {
		if w := m.words[server]; w.ReportedBy != m.me.Name {
			m.out = append(m.out, Action{Kind: NoticeExpired, Notice: w.EndpointNotice})
		}
		delete(m.words, server)
	}
}

func (m *Core) allWords() (list []EndpointNotice) {
	for _, w := range m.words {
		list = append(list, m.wordOf(w))
	}
	slices.SortFunc(list, func(a, b EndpointNotice) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}
