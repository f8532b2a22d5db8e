// Package pimquota enforces the hard limits of contracts with pooled shares. Every VM owns a share of each limit. While
// its demand fits the share, it sends nothing. A VM that needs more borrows from the pool owner of the contract and lends
// its share to the pool; the owner solicits the shares of other VMs only while the members of the pool, which are the
// VMs that borrow from it or lend to it, lack permits. Shares are lent under leases of 1 s, to one owner at a time.
package pimquota
