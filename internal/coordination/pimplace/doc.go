// Package pimplace chooses the backend server of a new opaque flow by observed load, and detects backend servers that
// do not answer any VM.
package pimplace
