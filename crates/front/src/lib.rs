//! One front without I/O: attaches, setup tries, dialogs, timers and the pool list
