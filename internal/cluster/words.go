package cluster

import (
	"cmp"
	"slices"
	"time"
)

// word is one that holds.
type word struct {
	Word
	at time.Duration // when it was said
}

func (m *Core) wordOf(w *word) Word {
	out := w.Word
	out.Age = m.now - w.at
	return out
}

// hearWord takes a word in: it holds for KeepWords from when it was first said, is told once, and is spread on. What is less
// than what is known, or old, is dropped.
func (m *Core) hearWord(w Word) {
	if w.Server == "" || len(w.Server) > MostName || w.Age < 0 || w.Age >= m.cfg.KeepWords {
		m.stats.Refused++
		return
	}
	old := m.words[w.Server]
	if old != nil && !w.newer(&old.Word) {
		return
	}
	if old == nil && len(m.words) >= mostWords {
		m.stats.Refused++
		return
	}
	own := w.By == m.me.Name
	m.words[w.Server] = &word{w, m.now - w.Age}
	m.spread.add(news{server: w.Server})
	if !own {
		m.out = append(m.out, Action{Do: Told, Word: w})
	}
}

// dropWords takes back what is old. Guards against a word that is wrong, or of a process that has been replaced, and holds for good.
func (m *Core) dropWords() {
	var over []string
	for server, w := range m.words {
		if m.now-w.at >= m.cfg.KeepWords {
			over = append(over, server)
		}
	}
	slices.Sort(over)
	for _, server := range over {
		if w := m.words[server]; w.By != m.me.Name {
			m.out = append(m.out, Action{Do: Unsaid, Word: w.Word})
		}
		delete(m.words, server)
	}
}

func (m *Core) allWords() (list []Word) {
	for _, w := range m.words {
		list = append(list, m.wordOf(w))
	}
	slices.SortFunc(list, func(a, b Word) int { return cmp.Compare(a.Server, b.Server) })
	return list
}
