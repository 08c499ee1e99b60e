//! Sockets and coroutines that carry frames between the network and a front
