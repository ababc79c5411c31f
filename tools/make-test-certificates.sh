#!/usr/bin/env bash
# Makes test/support/certificates/ again: an authority and one certificate for 127.0.0.1, valid for a hundred years. They protect nothing.
set -euo pipefail
cd "$(dirname "$0")/../test/support/certificates"
days=36500
openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days "$days" -subj "/CN=figward test authority" \
    -keyout authority.key -out authority.pem 2>/dev/null
openssl req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -subj "/CN=figward test proxy" -keyout proxy.key -out proxy.csr 2>/dev/null
openssl x509 -req -in proxy.csr -CA authority.pem -CAkey authority.key -CAcreateserial -days "$days" \
    -extfile <(printf 'subjectAltName=IP:127.0.0.1') -out proxy.pem 2>/dev/null
rm -f authority.key authority.srl proxy.csr # Nothing else is to be signed by this authority.
