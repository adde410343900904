#!/usr/bin/env bash
# Writes the certificates that the transport's tests use: an authority with one
# certificate for all processes, and a stranger signed by another authority.
set -euo pipefail
cd "$(dirname "$0")/../packages/hickorywharf-transport/src/__tests__/certificates"
days=36500
createAuthority() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -days "$days" -subj "/CN=$1" -keyout "$1.key.pem" -out "$1.pem"
}
createCertificate() {
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -subj "/CN=$2" -keyout "$2.key.pem" -out "$2.request.pem"
  openssl x509 -req -days "$days" -in "$2.request.pem" -CA "$1.pem" \
    -CAkey "$1.key.pem" -CAcreateserial -out "$2.pem"
  rm "$2.request.pem"
}
createAuthority authority
createAuthority other-authority
createCertificate authority process
createCertificate other-authority stranger
rm authority.key.pem other-authority.key.pem ./*.srl
