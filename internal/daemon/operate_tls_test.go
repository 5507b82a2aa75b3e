package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/cli"
	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/operator"
	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
)

// writeSelfSigned writes a self-signed certificate, which is also its own CA,
// and its key.
func writeSelfSigned(t *testing.T, name string) tlsconf.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	assert.NilError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return tlsconf.Files{CA: cert, Cert: cert, Key: keyFile}
}

func (c *cluster) runCommandTLS(vm string, files tlsconf.Files, args ...string) (code int, out string) {
	return c.runCommand(vm, append(args, "--ca", files.CA, "--cert", files.Cert, "--key", files.Key)...)
}

func TestDaemonsOverTLS(t *testing.T) {
	t.Parallel()
	files, stranger := writeSelfSigned(t, "operator-1"), writeSelfSigned(t, "stranger")
	store, err := tlsconf.Load(files, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	c := newCluster(t, "praha", "brno")
	c.tls = store
	c.addNode("praha", "praha-e0")
	c.addNode("brno", "brno-e0")
	c.startAll()
	c.apply()
	eventually(t, "a completion through every node", func() bool { return c.canServe("praha-e0") && c.canServe("brno-e0") })
	eventually(t, "the reason from another data centre's coordinator", func() bool {
		_, out := c.runCommandTLS("praha-e0", files, "explain", "vm", "brno-m0")
		return strings.Contains(out, "ready in group brno/gloves/1")
	})

	code, out := c.runCommandTLS("praha-e0", stranger, "status")
	assert.Equal(t, code, cli.ExitFailed, out)
	code, out = c.runCommand("praha-e0", "status")
	assert.Equal(t, code, cli.ExitFailed, out)
	for _, address := range []string{c.operatorAddress("praha-e0") + operator.StatusPath, c.nodes["praha-e0"].settings.Listen.Peers + "/forward/v1/models"} {
		resp, err := http.Get("http://" + address)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	}

	resp, err := c.nodes["praha-e0"].control.Post("https://"+c.operatorAddress("brno-e0")+operator.StopVMPath+"praha-m0", "", nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	history, err := configstore.New(c.table).History(t.Context(), 1)
	assert.NilError(t, err)
	assert.Equal(t, history[0].Author, "operator-1")
}
