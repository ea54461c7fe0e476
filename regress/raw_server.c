#include "raw_server.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "fake.h"

#define REQUEST_MAX 65536

int raw_listen(char address[RAW_ADDRESS_MAX])
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int fd;

	if (!fake_parse_address("127.0.0.1:0", &addr))
		return -1;
	fd = fake_listen(&addr, false);
	if (fd < 0 || getsockname(fd, (struct sockaddr *)&addr, &len) < 0)
		return -1;
	g_snprintf(address, RAW_ADDRESS_MAX, "127.0.0.1:%d",
		   ntohs(addr.sin_port));
	return fd;
}

bool raw_read_request(int fd)
{
	char text[REQUEST_MAX];

	return raw_read_text(fd, text, sizeof(text));
}

bool raw_is_probe(const char *text)
{
	return g_str_has_prefix(text, "POST /api/hold ") &&
	       strstr(text, ",\"acked_through\":0}");
}

bool raw_read_text(int fd, char *text, size_t size)
{
	size_t len = 0;

	while (len < size - 1) {
		ssize_t n = read(fd, text + len, size - 1 - len);
		const char *end, *length;

		if (n <= 0)
			return false;
		len += (size_t)n;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
		length = strstr(text, "Content-Length: ");
		if (end && length &&
		    len >= (size_t)(end + 4 - text) +
				    g_ascii_strtoull(length + 16, NULL, 10))
			return true;
	}
	return false;
}
