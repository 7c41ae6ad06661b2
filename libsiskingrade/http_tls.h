#ifndef SGR_HTTP_TLS_H
#define SGR_HTTP_TLS_H

#include <openssl/ssl.h>

#include "buffer.h"

/**
 * sgr_http_tls_create() - create a server-side TLS context
 * @certificate: PEM file with the certificate chain
 * @key: PEM file with the private key
 * @errors: receives a line of text on failure, for instance if a file cannot be read
 *
 * The context accepts TLS 1.2 and later, and offers HTTP/2 and HTTP/1.1 by ALPN.
 *
 * Return: the context, NULL on failure.
 */
SSL_CTX *sgr_http_tls_create (const char *certificate, const char *key, sgr_buffer_t *errors);

#endif
