// Package ordered has a map that is walked in the order of insertion, so that
// decisions taken while walking it are the same each time.
package ordered

import (
	"iter"
	"slices"
)

// Map is a map that remembers the order of insertion. The zero value is empty.
type Map[K comparable, V any] struct {
	values map[K]*item[K, V]
	order  []*item[K, V]
}

type item[K comparable, V any] struct {
	key     K
	value   V
	deleted bool
}

// Get returns the value of a key, or the zero value.
func (m *Map[K, V]) Get(key K) V {
	if i := m.values[key]; i != nil {
		return i.value
	}
	var zero V
	return zero
}

// Has reports whether a key is there.
func (m *Map[K, V]) Has(key K) bool { return m.values[key] != nil }

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.order) }

// Put sets the value of a key. A new key goes last.
func (m *Map[K, V]) Put(key K, value V) {
	if i := m.values[key]; i != nil {
		i.value = value
		return
	}
	if m.values == nil {
		m.values = make(map[K]*item[K, V])
	}
	i := &item[K, V]{key: key, value: value}
	m.values[key] = i
	m.order = append(m.order, i)
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	i := m.values[key]
	if i == nil {
		return
	}
	i.deleted = true
	delete(m.values, key)
	at := slices.Index(m.order, i)
	m.order = slices.Delete(slices.Clone(m.order), at, at+1) // walks go on over the old slice
}

// All walks the map as it was at the start, without keys deleted meanwhile.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, i := range m.order {
			if !i.deleted && !yield(i.key, i.value) {
				return
			}
		}
	}
}

// Values walks the values like All.
func (m *Map[K, V]) Values() iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, v := range m.All() {
			if !yield(v) {
				return
			}
		}
	}
}
