#include "core_address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define PORT_MAX 65535

bool gh_address_is_ipv4(const char *text)
{
	char canonical[INET_ADDRSTRLEN];
	struct in_addr addr;

	return inet_pton(AF_INET, text, &addr) == 1 &&
	       inet_ntop(AF_INET, &addr, canonical, sizeof(canonical)) &&
	       !strcmp(canonical, text);
}

bool gh_address_has_port(const char *text)
{
	const char *colon = strchr(text, ':');
	char *host;
	char *end;
	bool ok;

	if (!colon || !g_ascii_isdigit(colon[1]) || colon[1] == '0' ||
	    g_ascii_strtoull(colon + 1, &end, 10) > PORT_MAX || *end)
		return false;
	host = g_strndup(text, (gsize)(colon - text));
	ok = gh_address_is_ipv4(host);
	g_free(host);
	return ok;
}
