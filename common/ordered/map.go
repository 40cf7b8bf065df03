// Package ordered provides a map that iterates in insertion order, so that decisions made while
// iterating are deterministic.
package ordered

import (
	"iter"
	"slices"
)

// Map is a map with iteration in insertion order. The zero value is an empty map, ready to use.
// It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	values map[K]*item[K, V]
	order  []*item[K, V]
}

type item[K comparable, V any] struct {
	key     K
	value   V
	deleted bool
}

// Get returns the value of a key, or the zero value of V if the key is not in the map.
func (m *Map[K, V]) Get(key K) V {
	if i := m.values[key]; i != nil {
		return i.value
	}
	var zero V
	return zero
}

// Has reports whether a key is in the map.
func (m *Map[K, V]) Has(key K) bool { return m.values[key] != nil }

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.order) }

// Put sets the value of a key. A new key becomes the last in order; an existing one keeps its
// position.
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

// Delete removes a key if it is in the map, in time linear in the number of keys.
func (m *Map[K, V]) Delete(key K) {
	i := m.values[key]
	if i == nil {
		return
	}
	i.deleted = true
	delete(m.values, key)
	at := slices.Index(m.order, i)
	m.order = slices.Delete(slices.Clone(m.order), at, at+1) // iterations in progress read the old slice
}

// All returns an iterator over the keys and values, in insertion order. The map may be changed
// during the iteration: keys that are deleted before their turn are skipped, and keys that are put
// after the start are not visited.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, i := range m.order {
			if !i.deleted && !yield(i.key, i.value) {
				return
			}
		}
	}
}

// Values returns an iterator over the values, with the order and rules of All.
func (m *Map[K, V]) Values() iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, v := range m.All() {
			if !yield(v) {
				return
			}
		}
	}
}
