#include "result.h"

#include <stdio.h>
#include <stdlib.h>

const char *
sgr_result_name (sgr_result_t result)
{
  switch (result)
    {
    case SGR_OK:
      return "ok";
    case SGR_ERR_INVALID:
      return "invalid";
    case SGR_ERR_LIMIT:
      return "limit";
    case SGR_ERR_CONFLICT:
      return "conflict";
    case SGR_ERR_NOT_FOUND:
      return "not-found";
    case SGR_ERR_UNAVAILABLE:
      return "unavailable";
    case SGR_ERR_DENIED:
      return "denied";
    case SGR_ERR_NO_MEMORY:
      return "no-memory";
    case SGR_ERR_IO:
      return "io";
    }
  return "invalid-result";
}

_Noreturn void
sgr_invariant_failed (const char *condition, const char *file, int line)
{
  fprintf (stderr, "%s:%d: broken invariant: %s\n", file, line, condition);
  abort ();
}
