#include "http_tls.h"

#include <h2o.h>
#include <h2o/http2.h>
#include <openssl/err.h>

/* Appends a line with the setting, its file and the latest error of OpenSSL. */
static void
error_add (sgr_buffer_t *errors, const char *key, const char *path)
{
  char text[256];

  ERR_error_string_n (ERR_get_error (), text, sizeof text);
  sgr_buffer_printf (errors, "%s: cannot use \"%s\": %s\n", key, path, text);
}

SSL_CTX *
sgr_http_tls_create (const char *certificate, const char *key, sgr_buffer_t *errors)
{
  SSL_CTX *tls = SSL_CTX_new (TLS_server_method ());

  if (tls == NULL)
    {
      error_add (errors, "tls", certificate);
      return NULL;
    }
  SSL_CTX_set_min_proto_version (tls, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file (tls, certificate) != 1)
    {
      error_add (errors, "tls.certificate", certificate);
      goto fail;
    }
  if (SSL_CTX_use_PrivateKey_file (tls, key, SSL_FILETYPE_PEM) != 1
      || SSL_CTX_check_private_key (tls) != 1)
    {
      error_add (errors, "tls.key", key);
      goto fail;
    }
  h2o_ssl_register_alpn_protocols (tls, h2o_http2_alpn_protocols);
  return tls;

fail:
  SSL_CTX_free (tls);
  return NULL;
}
