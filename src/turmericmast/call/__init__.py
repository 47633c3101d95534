"""The call aggregate."""

from turmericmast.call.call import Call as Call
from turmericmast.call.call import CallRequest as CallRequest
from turmericmast.call.call import Loss as Loss
from turmericmast.call.call import Next as Next
from turmericmast.call.call import Ran as Ran
