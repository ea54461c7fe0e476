#include "crowd.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake.h"

#define RECEIVE_BUFFER_BYTES 2048

typedef struct client {
	int fd; /* -1: closed */
	size_t sent;
} client_t;

struct crowd {
	crowd_options_t options;
	client_t *clients;
	unsigned n_closed;
};

static int connect_client(const crowd_options_t *options);
static bool step_client(crowd_t *crowd, client_t *client);
static void close_client(crowd_t *crowd, client_t *client);

crowd_t *crowd_new(const crowd_options_t *options)
{
	crowd_t *crowd = g_new0(crowd_t, 1);
	unsigned i;

	crowd->options = *options;
	crowd->clients = g_new0(client_t, options->clients);
	for (i = 0; i < options->clients; i++) {
		crowd->clients[i].fd = connect_client(options);
		if (crowd->clients[i].fd < 0)
			crowd->n_closed++;
	}
	return crowd;
}

static int connect_client(const crowd_options_t *options)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int size = RECEIVE_BUFFER_BYTES;
	struct sockaddr_in addr;

	if (fd < 0 || !fake_parse_address(options->address, &addr))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (!connect(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

bool crowd_step(crowd_t *crowd)
{
	bool progress = false;
	unsigned i;

	for (i = 0; i < crowd->options.clients; i++)
		if (crowd->clients[i].fd >= 0)
			progress |= step_client(crowd, &crowd->clients[i]);
	return progress;
}

static bool step_client(crowd_t *crowd, client_t *client)
{
	const crowd_options_t *options = &crowd->options;
	size_t size = options->text->len - options->stop_short - client->sent;
	bool progress = false;
	ssize_t n = 0;
	char byte;

	if (options->reads && recv(client->fd, &byte, 1, MSG_DONTWAIT) > 0)
		progress = true;
	if (options->piece)
		size = MIN(size, options->piece);
	if (options->trickles)
		size = MIN(size, 1);
	if (size)
		n = send(client->fd, options->text->str + client->sent, size,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
	else if (!options->reads &&
		 !recv(client->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT))
		close_client(crowd, client);
	if (n > 0) {
		client->sent += (size_t)n;
		return true;
	}
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
		close_client(crowd, client);
	return progress;
}

static void close_client(crowd_t *crowd, client_t *client)
{
	close(client->fd);
	client->fd = -1;
	crowd->n_closed++;
}

unsigned crowd_closed(const crowd_t *crowd)
{
	return crowd->n_closed;
}

void crowd_free(crowd_t *crowd)
{
	unsigned i;

	for (i = 0; i < crowd->options.clients; i++)
		if (crowd->clients[i].fd >= 0)
			close(crowd->clients[i].fd);
	g_free(crowd->clients);
	g_free(crowd);
}
