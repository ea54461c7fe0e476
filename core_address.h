/* Addresses of hosts, workers and the store. */
#ifndef CORE_ADDRESS_H
#define CORE_ADDRESS_H

#include <stdbool.h>

/* Whether the text is an IPv4 address a.b.c.d in its usual form. */
bool gh_address_is_ipv4(const char *text);
/* Whether the text is such an address and a port, a.b.c.d:1 to 65535. */
bool gh_address_has_port(const char *text);

#endif
