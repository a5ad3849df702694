#include "loopback_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

guint16
loopback_port_reserve (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return 0;
  /* The socket stays open, bound and not listening, which keeps the port. */
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (struct sockaddr *)&address, len) == 0
      && getsockname (fd, (struct sockaddr *)&address, &len) == 0)
    return ntohs (address.sin_port);
  close (fd);
  return 0;
}
