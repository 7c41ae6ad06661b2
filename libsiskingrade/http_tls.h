#ifndef SGR_HTTP_TLS_H
#define SGR_HTTP_TLS_H

#include <openssl/ssl.h>

#include "buffer.h"

/**
 * sgr_http_tls_create() - server side TLS 1.2 and 1.3 with HTTP/2 and HTTP/1.1 by ALPN
 * @certificate: PEM file with the certificate chain
 * @key: PEM file with the private key
 * @errors: receives a line if a file cannot be used
 *
 * Return: the context, NULL after an error.
 */
SSL_CTX *sgr_http_tls_create (const char *certificate, const char *key, sgr_buffer_t *errors);

#endif
