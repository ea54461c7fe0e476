#include "front_internal.h"

#include <string.h>

/*
 * Headers that describe one connection or one send of a request, and are not
 * forwarded between caller and executor.
 */
static const char *const not_forwarded[] = {
	"connection",
	"keep-alive",
	"proxy-connection",
	"proxy-authorization",
	"proxy-authenticate",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"expect",
	"host",
	"content-length",
	"date",
	"x-request-id",
	"x-remaining-ms",
	"x-forwarded-by",
	"x-outcome",
	"x-not-run",
	NULL,
};

bool front_forwards_header(const char *name)
{
	size_t i;

	for (i = 0; not_forwarded[i]; i++)
		if (!g_ascii_strcasecmp(not_forwarded[i], name))
			return false;
	return true;
}
