/*
 * The operator's requests to empty failure domains, as this host knows them.
 *
 * The host's one watch of the operator's keys passes them in; the owners of the
 * host's shards read them.  A request lasts as long as its key exists, whatever
 * the key's value.
 */
#ifndef FLEET_DOMAINS_H
#define FLEET_DOMAINS_H

#include "fleet_port.h"
#include "fleet_watch.h"

typedef struct fleet_domains fleet_domains_t;

fleet_domains_t *fleet_domains_new(const fleet_store_ops_t *ops);
void fleet_domains_free(fleet_domains_t *domains);
/* Loop's thread: the watch that passes the keys; NULL: none any more. */
void fleet_domains_set_watch(fleet_domains_t *domains,
			     const fleet_watch_t *watch);
/*
 * Loop's thread: takes in a key that was read, has changed or is gone.  Returns
 * whether the domains to be emptied have changed.
 */
bool fleet_domains_take(fleet_domains_t *domains, const fleet_item_t *item);

/* Loop's thread: grows with each change of the domains; 0: none so far. */
uint64_t fleet_domains_version(const fleet_domains_t *domains);
/* Loop's thread: as of when they are known; 0: they are not. */
gh_time_t fleet_domains_heard_at(const fleet_domains_t *domains);
/* Loop's thread: their names, valid until the next change. */
const char *const *fleet_domains_names(const fleet_domains_t *domains,
				       size_t *n);
/* Any thread: text of the metrics, to be freed. */
char *fleet_domains_format(fleet_domains_t *domains);

#endif
