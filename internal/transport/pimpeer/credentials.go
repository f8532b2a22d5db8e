package pimpeer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// MinSecret is the minimum length of the cluster secret in bytes.
const MinSecret = pimseal.MinSecret

const (
	caInfo     = "pimentoyard peer ca v1"
	uriScheme  = "pimentoyard"
	serverName = "peer.pimentoyard"
)

// All certificates have the same fixed validity, so that VMs with wrong clocks can still connect. They need no expiry:
// a leaf key exists only as long as its process, and after a leak the cluster secret is replaced, which changes the CA.
var (
	notBefore = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Identity is the ID of a VM and its incarnation, as its certificate names them.
type Identity struct {
	Node        pimid.NodeID
	Incarnation pimid.Incarnation
}

// Credentials prove the identity of this VM to the VMs that hold the same cluster secret; they include a certificate
// issued by a CA whose key is derived from that secret.
type Credentials struct {
	id     Identity
	leaf   tls.Certificate
	roots  *x509.CertPool
	secret []byte
}

// NewCredentials derives the CA key from the cluster secret and issues a certificate for this incarnation; a secret
// shorter than MinSecret gives pimseal.ErrSecret.
func NewCredentials(secret []byte, id Identity) (c *Credentials, err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "derive credentials") }()
	if len(secret) < MinSecret {
		return nil, pimseal.ErrSecret
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, caInfo, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	caKey := ed25519.NewKeyFromSeed(seed)
	ca, err := issueCA(caKey)
	if err != nil {
		return nil, err
	}
	leaf, err := issueLeaf(ca, caKey, id)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(ca)
	return &Credentials{id: id, leaf: leaf, roots: roots, secret: secret}, nil
}

func issueCA(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "pimentoyard peer ca"},
		NotBefore: notBefore, NotAfter: notAfter, IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

func issueLeaf(ca *x509.Certificate, caKey ed25519.PrivateKey, id Identity) (c tls.Certificate, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return c, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return c, err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "vm " + id.Node.String()},
		NotBefore: notBefore, NotAfter: notAfter, URIs: []*url.URL{identityURI(id)}, DNSNames: []string{serverName},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, public, caKey)
	if err != nil {
		return c, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

func identityURI(id Identity) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: id.Node.String(), Path: "/" + id.Incarnation.String()}
}

// identityOf reads the identity from the peer certificate of a verified connection.
func identityOf(state tls.ConnectionState) (id Identity, err error) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return id, ErrNoIdentity
	}
	for _, u := range state.PeerCertificates[0].URIs {
		if u.Scheme != uriScheme {
			continue
		}
		node, errNode := strconv.ParseUint(u.Host, 10, 16)
		inc, errInc := strconv.ParseUint(strings.TrimPrefix(u.Path, "/"), 16, 64)
		if errNode == nil && errInc == nil {
			return Identity{Node: pimid.NodeID(node), Incarnation: pimid.Incarnation(inc)}, nil
		}
	}
	return id, ErrNoIdentity
}

func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.leaf},
		ClientCAs: c.roots, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// clientConfig accepts only the expected VM, since its address may now belong to another one.
func (c *Credentials) clientConfig(want pimid.NodeID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.leaf}, RootCAs: c.roots, ServerName: serverName,
		VerifyConnection: func(state tls.ConnectionState) error {
			got, err := identityOf(state)
			if err != nil {
				return err
			}
			if got.Node != want {
				return &WrongPeerError{Want: want, Got: got}
			}
			return nil
		},
	}
}
