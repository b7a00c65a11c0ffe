// Package platform is a client of the platform's service, which offers a transactional
// table, an object store and a list of hosts. The client never retries a call. The type of
// a write's error says whether the write may have taken effect.
package platform
